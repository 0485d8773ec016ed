set(REVIEW_FOLDER ${CMAKE_SOURCE_DIR}/review/standin2)
set(SCAFFOLDING ${CMAKE_SOURCE_DIR}/testsuite/common)
# The project's own stand-ins that the cases use, without its tests.
add_library(review2_common STATIC
  ${REVIEW_FOLDER}/machine.cpp ${REVIEW_FOLDER}/upstream.cpp
  ${REVIEW_FOLDER}/fleet.cpp ${SCAFFOLDING}/httpclient.cpp
  ${SCAFFOLDING}/platformmachine.cpp ${SCAFFOLDING}/platformstore.cpp
  ${SCAFFOLDING}/platformupstream.cpp ${SCAFFOLDING}/process.cpp)
target_include_directories(review2_common PUBLIC ${REVIEW_FOLDER}
                                                 ${SCAFFOLDING})
target_compile_definitions(review2_common PUBLIC
  COLTSFOOT_BIN_DIR="${CMAKE_BINARY_DIR}"
  COLTSFOOT_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
target_link_libraries(review2_common PUBLIC coltsfoot_coordination)
file(GLOB REVIEW_PROGRAMS ${REVIEW_FOLDER}/review_*.cpp)
foreach(SOURCE ${REVIEW_PROGRAMS})
  get_filename_component(NAME ${SOURCE} NAME_WE)
  add_executable(${NAME} ${SOURCE})
  target_link_libraries(${NAME} PRIVATE review2_common)
  list(APPEND REVIEW_TARGETS ${NAME})
endforeach()
add_custom_target(review2 DEPENDS ${REVIEW_TARGETS})
