# Adds the programs of this folder to the project's build, once its own targets
# are defined. review/build-2.sh passes this file to CMake.
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include
               ${CMAKE_SOURCE_DIR}/review/standin2/programs.cmake)
