# Helpers that give every target of the project the same warnings, include paths and sanitizers.

set(RUNSHELF_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wold-style-cast)
if(RUNSHELF_WARNINGS_AS_ERRORS)
  list(APPEND RUNSHELF_WARNINGS -Werror)
endif()

# Ends a test that hangs, in seconds. Sanitizers make tests up to ten times slower.
if(RUNSHELF_SANITIZE)
  set(RUNSHELF_TEST_TIMEOUT 1200)
else()
  set(RUNSHELF_TEST_TIMEOUT 240)
endif()

function(runshelf_target_defaults target)
  target_compile_options(${target} PRIVATE ${RUNSHELF_WARNINGS})
  target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR})
  if(RUNSHELF_FUZZ)
    target_compile_options(${target} PRIVATE -fsanitize=fuzzer-no-link)
  endif()
  if(RUNSHELF_SANITIZE)
    if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
      # With sanitizers g++ 12 gives false alarms of this warning inside <regex> (its manual says that
      # sanitizers cause them); the plain build keeps it.
      target_compile_options(${target} PRIVATE -Wno-maybe-uninitialized)
    endif()
    target_compile_options(${target} PRIVATE -fsanitize=${RUNSHELF_SANITIZE} -fno-omit-frame-pointer
                                             -fno-sanitize-recover=all)
    target_link_options(${target} PRIVATE -fsanitize=${RUNSHELF_SANITIZE})
  endif()
endfunction()

# runshelf_library(<name> SOURCES <file>... [DEPENDS <target>...])
# A static library of one part of the product: public headers under include/runshelf/<part>,
# implementation under source/<part>.
function(runshelf_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include> $<INSTALL_INTERFACE:include>)
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
  runshelf_target_defaults(${name})
endfunction()

# runshelf_program(<name> SOURCES <file>... [DEPENDS <target>...])
function(runshelf_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  target_compile_definitions(${name} PRIVATE RUNSHELF_VERSION="${PROJECT_VERSION}")
  runshelf_target_defaults(${name})
endfunction()

# runshelf_test(<name> SOURCES <file>... [DEPENDS <target>...] [GROUPS <group>...])
# One CppUTest program per directory below tests/, run by ctest with a fixed RapidCheck seed. With GROUPS
# ctest runs each test group by itself, so that long ones run beside each other; <name>_groups fails
# when the program has a group that is not listed.
function(runshelf_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;GROUPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/tests/test_main.cc)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} CppUTest rapidcheck)
  # The leak detector replaces `new` by a macro, which RapidCheck does not survive.
  target_compile_definitions(${name} PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
  runshelf_target_defaults(${name})
  if(ARG_GROUPS)
    foreach(group IN LISTS ARG_GROUPS)
      runshelf_add_test(${name}_${group} ${name} -v -sg ${group})
    endforeach()
    list(JOIN ARG_GROUPS " " groups)
    runshelf_add_test(${name}_groups ${CMAKE_COMMAND} -DPROGRAM=$<TARGET_FILE:${name}>
                      -DLISTED=${groups} -P ${PROJECT_SOURCE_DIR}/cmake/CheckTestGroups.cmake)
  else()
    runshelf_add_test(${name} ${name} -v)
  endif()
endfunction()

# runshelf_add_test(<ctest name> <command>...)
function(runshelf_add_test test_name)
  add_test(NAME ${test_name} COMMAND ${ARGN})
  set_tests_properties(${test_name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261202"
                       TIMEOUT ${RUNSHELF_TEST_TIMEOUT})
endfunction()
