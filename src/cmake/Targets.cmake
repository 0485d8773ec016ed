# coltsfoot_library(NAME [DEPENDENCY...]) adds the library in src/libNAME and,
# if the folder holds *_test.cpp files, the test program NAME_test.
function(coltsfoot_library NAME)
  coltsfoot_library_in(${CMAKE_SOURCE_DIR}/src/lib${NAME} ${NAME} ${ARGN})
endfunction()

# coltsfoot_library_in(FOLDER NAME [DEPENDENCY...]) does the same for the
# library in FOLDER.
function(coltsfoot_library_in FOLDER NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${FOLDER}/*.cpp ${FOLDER}/gen-cpp/*.cpp)
  set(TESTS ${SOURCES})
  list(FILTER SOURCES EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER TESTS INCLUDE REGEX "_test\\.cpp$")
  if(EXISTS ${FOLDER}/gen-cpp)
    set_source_files_properties(${FOLDER}/gen-cpp/coltsfoot_types.cpp PROPERTIES
                                COMPILE_OPTIONS "-w")
  endif()
  add_library(coltsfoot_${NAME} STATIC ${SOURCES})
  target_include_directories(coltsfoot_${NAME} PUBLIC ${FOLDER})
  target_link_libraries(coltsfoot_${NAME} PUBLIC coltsfoot_options)
  foreach(DEPENDENCY ${ARGN})
    target_link_libraries(coltsfoot_${NAME} PUBLIC coltsfoot_${DEPENDENCY})
  endforeach()
  if(TESTS AND COLTSFOOT_TESTS)
    add_executable(${NAME}_test ${TESTS})
    target_include_directories(${NAME}_test PRIVATE
                               ${CMAKE_SOURCE_DIR}/testsuite/common)
    target_link_libraries(${NAME}_test PRIVATE coltsfoot_${NAME} doctest_main)
    target_compile_definitions(${NAME}_test PRIVATE
                               COLTSFOOT_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    add_test(NAME unit.${NAME} COMMAND ${NAME}_test)
  endif()
endfunction()

# coltsfoot_program(NAME [DEPENDENCY...]) adds the program in src/NAME, whose
# main() is in NAME.cpp, and, if the folder holds *_test.cpp files, the test
# program NAME_test.
function(coltsfoot_program NAME)
  set(FOLDER ${CMAKE_SOURCE_DIR}/src/${NAME})
  file(GLOB SOURCES CONFIGURE_DEPENDS ${FOLDER}/*.cpp)
  set(TESTS ${SOURCES})
  list(FILTER SOURCES EXCLUDE REGEX "(_test|/${NAME})\\.cpp$")
  list(FILTER TESTS INCLUDE REGEX "_test\\.cpp$")
  add_executable(${NAME} ${FOLDER}/${NAME}.cpp)
  if(SOURCES)
    add_library(${NAME}_parts STATIC ${SOURCES})
    target_include_directories(${NAME}_parts PUBLIC ${FOLDER})
    foreach(DEPENDENCY ${ARGN})
      target_link_libraries(${NAME}_parts PUBLIC coltsfoot_${DEPENDENCY})
    endforeach()
    target_link_libraries(${NAME} PRIVATE ${NAME}_parts)
  endif()
  foreach(DEPENDENCY ${ARGN})
    target_link_libraries(${NAME} PRIVATE coltsfoot_${DEPENDENCY})
  endforeach()
  if(TESTS AND COLTSFOOT_TESTS)
    add_executable(${NAME}_test ${TESTS})
    target_include_directories(${NAME}_test PRIVATE
                               ${CMAKE_SOURCE_DIR}/testsuite/common)
    target_link_libraries(${NAME}_test PRIVATE ${NAME}_parts doctest_main)
    add_test(NAME unit.${NAME} COMMAND ${NAME}_test)
  endif()
endfunction()
