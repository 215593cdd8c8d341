# Run by ctest; see CMakeLists.txt. Any failed step ends the script with an error.

function(run)
  execute_process(COMMAND ${ARGV} RESULT_VARIABLE result)
  if(NOT result EQUAL 0)
    message(FATAL_ERROR "failed (${result}): ${ARGV}")
  endif()
endfunction()

set(prefix ${WORK_DIRECTORY}/prefix)
set(project_build ${WORK_DIRECTORY}/build)
file(REMOVE_RECURSE ${WORK_DIRECTORY})

run(${CMAKE_COMMAND} --install ${BUILD_DIRECTORY} --prefix ${prefix})
# What is installed may be moved to a machine without this source tree.
file(GLOB_RECURSE package_files ${prefix}/*/cmake/runshelf/*.cmake)
foreach(package_file IN LISTS package_files)
  file(READ ${package_file} content)
  string(FIND "${content}" "${SOURCE_DIRECTORY}/" position)
  if(NOT position EQUAL -1)
    message(FATAL_ERROR "${package_file} names the source tree ${SOURCE_DIRECTORY}")
  endif()
endforeach()

run(${CMAKE_COMMAND} -S ${CMAKE_CURRENT_LIST_DIR}/outside_project -B ${project_build} -G Ninja
    -D CMAKE_PREFIX_PATH=${prefix} -D CMAKE_CXX_COMPILER=${COMPILER}
    -D EXAMPLES_DIRECTORY=${EXAMPLES_DIRECTORY})
run(${CMAKE_COMMAND} --build ${project_build} --parallel 2)
run(${project_build}/all_parts)
run(${project_build}/ownership_example)
run(${prefix}/bin/runshelfd --version)
