# dogwood_library(NAME [DEPENDS lib...]): builds the library dogwood_NAME from all *.cc files of the
# folder.
function(dogwood_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_library(dogwood_${name} STATIC ${sources})
  target_include_directories(dogwood_${name} PUBLIC ${PROJECT_SOURCE_DIR})
  target_link_libraries(dogwood_${name} PUBLIC Threads::Threads ${ARG_DEPENDS})
endfunction()

# dogwood_program(NAME SOURCES file... DEPENDS lib...): builds a program into the folder bin.
function(dogwood_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_compile_definitions(${name} PRIVATE DOGWOOD_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# dogwood_test(NAME DEPENDS lib...): builds one doctest program from all *_test.cc files of the folder
# and registers it with CTest.
function(dogwood_test name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(${name} ${sources} ${PROJECT_SOURCE_DIR}/Tests/test_main.cc)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
  add_test(NAME ${name} COMMAND ${name})
endfunction()
