# coltsfoot_library(NAME [DEPENDENCY...]): the library src/libNAME and, when
# there are *_test.cpp files beside its code, the test program NAME_test.
function(coltsfoot_library NAME)
  set(FOLDER ${CMAKE_SOURCE_DIR}/src/lib${NAME})
  file(GLOB SOURCES CONFIGURE_DEPENDS ${FOLDER}/*.cpp ${FOLDER}/gen-cpp/*.cpp)
  set(TESTS ${SOURCES})
  list(FILTER SOURCES EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER TESTS INCLUDE REGEX "_test\\.cpp$")
  set_source_files_properties(${FOLDER}/gen-cpp/coltsfoot_types.cpp PROPERTIES
                              COMPILE_OPTIONS "-w")
  add_library(coltsfoot_${NAME} STATIC ${SOURCES})
  target_include_directories(coltsfoot_${NAME} PUBLIC ${FOLDER})
  target_link_libraries(coltsfoot_${NAME} PUBLIC coltsfoot_options)
  foreach(DEPENDENCY ${ARGN})
    target_link_libraries(coltsfoot_${NAME} PUBLIC coltsfoot_${DEPENDENCY})
  endforeach()
  if(TESTS)
    add_executable(${NAME}_test ${TESTS}
                   ${CMAKE_SOURCE_DIR}/testsuite/common/doctest_main.cpp)
    target_include_directories(${NAME}_test PRIVATE
                               ${CMAKE_SOURCE_DIR}/testsuite/common)
    target_link_libraries(${NAME}_test PRIVATE coltsfoot_${NAME})
    add_test(NAME unit.${NAME} COMMAND ${NAME}_test)
  endif()
endfunction()

# coltsfoot_program(NAME [DEPENDENCY...]): the program src/NAME.
function(coltsfoot_program NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${NAME}/*.cpp)
  add_executable(${NAME} ${SOURCES})
  foreach(DEPENDENCY ${ARGN})
    target_link_libraries(${NAME} PRIVATE coltsfoot_${DEPENDENCY})
  endforeach()
endfunction()
