# runshelf_use_archives(<package>)
# Links the archives of a package's libraries, where there are any, in place of the shared ones. Until
# the dynamic loader is done a process cannot hold signals back, and each start costs processor time:
# some twenty of the sidecar's libraries are small parts of one package.
function(runshelf_use_archives package)
  get_property(targets DIRECTORY PROPERTY IMPORTED_TARGETS)
  list(FILTER targets INCLUDE REGEX "^${package}::")
  foreach(target IN LISTS targets)
    get_target_property(configurations ${target} IMPORTED_CONFIGURATIONS)
    if(NOT configurations)
      continue()  # Headers only.
    endif()
    foreach(configuration IN LISTS configurations)
      get_target_property(library ${target} IMPORTED_LOCATION_${configuration})
      string(REGEX REPLACE "\\.so[.0-9]*$" ".a" archive "${library}")
      if(EXISTS "${archive}")
        set_target_properties(${target} PROPERTIES IMPORTED_LOCATION_${configuration} "${archive}")
      endif()
    endforeach()
  endforeach()
endfunction()
