# Each module is a folder in modules/, with sources beside headers and tests in
# tests/. All modules form one shared library, so that plug-ins that register
# themselves are present in every program that links to it.
function(anvilturn_add_modules)
  file(GLOB module_dirs CONFIGURE_DEPENDS LIST_DIRECTORIES true
       ${CMAKE_SOURCE_DIR}/modules/av_*)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/modules/av_*/*.cpp
       ${CMAKE_SOURCE_DIR}/modules/av_*/*.capnp.c++
       ${CMAKE_SOURCE_DIR}/platform/*.cpp)
  add_library(anvilturn SHARED ${sources})
  target_include_directories(anvilturn PUBLIC ${CMAKE_SOURCE_DIR}/modules)
  target_link_libraries(anvilturn PUBLIC anvilturn_dependencies PRIVATE easyloggingpp)
  file(GLOB generated CONFIGURE_DEPENDS
       ${CMAKE_SOURCE_DIR}/modules/av_*/*.capnp.c++)
  set_source_files_properties(${generated} PROPERTIES
    LANGUAGE CXX COMPILE_OPTIONS -w)
  # g++ 12 reports a false positive within Boost.Accumulators when it inlines.
  set_source_files_properties(
    ${CMAKE_SOURCE_DIR}/modules/av_metrics/latency_recorder.cpp
    PROPERTIES COMPILE_OPTIONS -Wno-maybe-uninitialized)
  foreach(module_dir IN LISTS module_dirs ITEMS ${CMAKE_SOURCE_DIR}/platform)
    anvilturn_add_module_tests(${module_dir})
  endforeach()
endfunction()

# One Boost.Test program for each module that has tests/*_test.cpp.
function(anvilturn_add_module_tests module_dir)
  get_filename_component(module ${module_dir} NAME)
  file(GLOB tests CONFIGURE_DEPENDS ${module_dir}/tests/*_test.cpp)
  if(NOT tests)
    return()
  endif()
  add_executable(${module}_test ${tests} ${CMAKE_SOURCE_DIR}/cmake/test_main.cpp)
  target_compile_definitions(${module}_test PRIVATE BOOST_TEST_DYN_LINK
    ANVILTURN_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  target_include_directories(${module}_test SYSTEM PRIVATE
    ${RAPIDCHECK_INCLUDE_DIR})
  target_link_libraries(${module}_test PRIVATE anvilturn
    Boost::unit_test_framework ${RAPIDCHECK_LIBRARY})
  add_test(NAME ${module} COMMAND ${module}_test)
  set_tests_properties(${module} PROPERTIES TIMEOUT 300
    ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
