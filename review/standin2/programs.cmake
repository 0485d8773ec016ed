set(REVIEW_FOLDER ${CMAKE_SOURCE_DIR}/review/standin2)
add_library(review2_common STATIC ${REVIEW_FOLDER}/machine.cpp
                                  ${REVIEW_FOLDER}/upstream.cpp
                                  ${REVIEW_FOLDER}/fleet.cpp)
target_include_directories(review2_common PUBLIC ${REVIEW_FOLDER})
target_link_libraries(review2_common PUBLIC testsuite_common)
file(GLOB REVIEW_PROGRAMS ${REVIEW_FOLDER}/review_*.cpp)
foreach(SOURCE ${REVIEW_PROGRAMS})
  get_filename_component(NAME ${SOURCE} NAME_WE)
  add_executable(${NAME} ${SOURCE})
  target_link_libraries(${NAME} PRIVATE review2_common)
  list(APPEND REVIEW_TARGETS ${NAME})
endforeach()
add_custom_target(review2 DEPENDS ${REVIEW_TARGETS})
