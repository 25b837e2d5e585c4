# One object with Catch2's main function, shared by all tests.
if(MARJORAMBEAM_TESTS)
  file(WRITE ${CMAKE_BINARY_DIR}/catch_main.cpp
    "#define CATCH_CONFIG_MAIN\n#include <catch2/catch.hpp>\n")
  add_library(catch_main STATIC ${CMAKE_BINARY_DIR}/catch_main.cpp)
  target_link_libraries(catch_main PUBLIC Catch2::Catch2)
endif()

# marjorambeam_library(NAME [DEPS ...]): builds NAME from the directory's
# sources, NAME_test from *_test.cpp and NAME_benchmark from *_benchmark.cpp.
# main.cpp is left out; marjorambeam_program builds it.
function(marjorambeam_library name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  list(FILTER sources EXCLUDE REGEX "(_test|_benchmark|/main)\\.cpp$")
  file(GLOB tests CONFIGURE_DEPENDS *_test.cpp)
  file(GLOB benchmarks CONFIGURE_DEPENDS *_benchmark.cpp)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_link_libraries(${name} PUBLIC ${ARG_DEPS})
  else()
    add_library(${name} INTERFACE)
    target_link_libraries(${name} INTERFACE ${ARG_DEPS})
  endif()
  if(NOT MARJORAMBEAM_TESTS)
    return()
  endif()
  if(tests)
    add_executable(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE ${name} catch_main ${RAPIDCHECK})
    catch_discover_tests(${name}_test TEST_PREFIX "${name}: "
      PROPERTIES TIMEOUT 120 ENVIRONMENT RC_PARAMS=seed=1)
  endif()
  if(benchmarks)
    add_executable(${name}_benchmark ${benchmarks})
    target_link_libraries(${name}_benchmark PRIVATE ${name}
      benchmark::benchmark_main)
  endif()
endfunction()

# marjorambeam_program(BINARY [DEPS ...]): builds BINARY from main.cpp.
function(marjorambeam_program binary)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  add_executable(${binary} main.cpp)
  target_link_libraries(${binary} PRIVATE ${ARG_DEPS})
endfunction()
