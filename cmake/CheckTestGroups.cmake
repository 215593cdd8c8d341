# cmake -DPROGRAM=<test program> -DLISTED="<group> ..." -P CheckTestGroups.cmake
# Fails unless the test groups of the program are those listed: a group that ctest does not know of would
# never run.
execute_process(COMMAND ${PROGRAM} -lg OUTPUT_VARIABLE present OUTPUT_STRIP_TRAILING_WHITESPACE
                COMMAND_ERROR_IS_FATAL ANY)
separate_arguments(present)
separate_arguments(LISTED)
list(SORT present)
list(SORT LISTED)
if(NOT present STREQUAL LISTED)
  message(FATAL_ERROR "test groups of ${PROGRAM}: ${present}; listed for ctest: ${LISTED}")
endif()
