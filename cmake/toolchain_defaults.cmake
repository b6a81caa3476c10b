# C++17: Boost.MSM 1.74 does not compile as C++20.
set(CMAKE_CXX_STANDARD 17)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
include(GNUInstallDirs)
set(CMAKE_INSTALL_RPATH "$ORIGIN/../${CMAKE_INSTALL_LIBDIR}")
set(CMAKE_POSITION_INDEPENDENT_CODE ON)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
set(CMAKE_LIBRARY_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/lib)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

# Makes cache entries independent of the checkout's path, so that all checkouts
# of the project share them.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env CCACHE_NOHASHDIR=1
      CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} ${CCACHE_PROGRAM})
endif()
find_program(MOLD_PROGRAM mold)
if(MOLD_PROGRAM)
  add_link_options(-fuse-ld=mold)
endif()

add_compile_options(-Wall -Wextra -Wpedantic -Werror -fno-semantic-interposition)
# Debug information for stack traces only: full debug information triples the
# size of objects that include Beast or MSM.
add_compile_options(-g1)

set(ANVILTURN_SANITIZE "" CACHE STRING "Sanitizers: address,undefined or thread")
if(ANVILTURN_SANITIZE)
  add_compile_options(-fsanitize=${ANVILTURN_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${ANVILTURN_SANITIZE})
  # g++ reports false positives in templates when it instruments.
  add_compile_options(-Wno-error)
endif()
