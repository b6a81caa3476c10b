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

add_compile_options(-Wall -Wextra -Wpedantic -Werror -fno-semantic-interposition)
# Debug information for stack traces only: full debug information triples the
# size of objects that include Beast or MSM.
add_compile_options(-g1)

set(ANVILTURN_SANITIZE "" CACHE STRING "Sanitizers: address,undefined or thread")

# mold 1.10 aborts on arm64 when it links the large library of a build without
# optimization (an assertion in its range extension thunks).
set(ANVILTURN_IS_ARM64 FALSE)
if(CMAKE_SYSTEM_PROCESSOR MATCHES "^(aarch64|arm64)$")
  set(ANVILTURN_IS_ARM64 TRUE)
endif()
set(ANVILTURN_IS_UNOPTIMIZED FALSE)
if(ANVILTURN_SANITIZE OR CMAKE_BUILD_TYPE STREQUAL "Debug")
  set(ANVILTURN_IS_UNOPTIMIZED TRUE)
endif()
find_program(MOLD_PROGRAM mold)
if(MOLD_PROGRAM AND NOT (ANVILTURN_IS_ARM64 AND ANVILTURN_IS_UNOPTIMIZED))
  message(STATUS "Linker: mold")
  add_link_options(-fuse-ld=mold)
else()
  message(STATUS "Linker: the compiler's default")
endif()

if(ANVILTURN_SANITIZE)
  add_compile_options(-fsanitize=${ANVILTURN_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${ANVILTURN_SANITIZE})
  # g++ reports false positives in templates when it instruments.
  add_compile_options(-Wno-error)
endif()
