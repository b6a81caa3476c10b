# Adds a program for each subfolder of the current folder that has a main.cpp,
# named after that subfolder, and links it to the given library.
function(anvilturn_add_programs library)
  file(GLOB mains CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*/main.cpp)
  foreach(main IN LISTS mains)
    get_filename_component(folder ${main} DIRECTORY)
    get_filename_component(program ${folder} NAME)
    file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cpp)
    add_executable(${program} ${sources})
    target_include_directories(${program} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(${program} PRIVATE ${library})
  endforeach()
endfunction()
