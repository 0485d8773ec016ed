# Finds the libraries that the project links. All are available as Debian
# packages.
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS log json thread filesystem)
if(COLTSFOOT_TESTS)
  find_package(doctest REQUIRED)
endif()
find_path(CXXOPTS_INCLUDE_DIR cxxopts.hpp REQUIRED)
find_path(TOMLPLUSPLUS_INCLUDE_DIR toml++/toml.h REQUIRED)
find_path(XXHASH_INCLUDE_DIR xxhash.h REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_path(THRIFT_INCLUDE_DIR thrift/TProcessor.h REQUIRED)
find_library(THRIFT_LIBRARY thrift REQUIRED)

find_library(JEMALLOC_LIBRARY jemalloc REQUIRED)

# Compile options and libraries that every target of the project shares.
add_library(coltsfoot_options INTERFACE)
target_compile_options(coltsfoot_options INTERFACE -Wall -Wextra
                       -Wno-missing-field-initializers)
option(COLTSFOOT_WERROR "Treat warnings as errors; for developers" OFF)
if(COLTSFOOT_WERROR)
  target_compile_options(coltsfoot_options INTERFACE -Werror)
endif()
target_compile_definitions(coltsfoot_options INTERFACE BOOST_LOG_DYN_LINK
                           BOOST_ASIO_NO_DEPRECATED
                           # Compiled once, in src/libutil/asioimpl.cpp.
                           BOOST_ASIO_SEPARATE_COMPILATION
                           BOOST_BEAST_SEPARATE_COMPILATION
                           COLTSFOOTPOINT_VERSION="${PROJECT_VERSION}")
target_include_directories(coltsfoot_options INTERFACE
                           ${CMAKE_SOURCE_DIR}/src/include)
target_include_directories(coltsfoot_options SYSTEM INTERFACE
                           ${CMAKE_SOURCE_DIR}/src/libprotocol/gen-cpp)
target_link_libraries(coltsfoot_options INTERFACE Threads::Threads
                      OpenSSL::Crypto Boost::log Boost::json Boost::thread
                      Boost::filesystem ${XXHASH_LIBRARY} ${THRIFT_LIBRARY})

set(COLTSFOOT_SANITIZE "" CACHE STRING "Sanitizers, such as address,undefined")
if(COLTSFOOT_SANITIZE)
  add_compile_options(-fsanitize=${COLTSFOOT_SANITIZE}
                      -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${COLTSFOOT_SANITIZE})
  # GCC gives false -Wmaybe-uninitialized warnings about std::regex under
  # sanitizers; the plain build keeps the warning enabled.
  add_compile_options(-Wno-maybe-uninitialized)
  # ThreadSanitizer doesn't support fences, and GCC warns about each one. Asio's
  # fences aren't needed, since its scheduler passes handlers between threads
  # under a mutex.
  if(COLTSFOOT_SANITIZE MATCHES "thread")
    add_compile_definitions(BOOST_ASIO_DISABLE_FENCED_BLOCK)
  endif()
endif()

# The implementation of doctest with its main(), compiled once for all test
# programs.
if(COLTSFOOT_TESTS)
  add_library(doctest_main OBJECT
              ${CMAKE_SOURCE_DIR}/testsuite/common/doctest_main.cpp)
endif()
