# Installs the programs, the embeddable parts with their headers, and a CMake package, so that
# find_package(runshelf) gives the targets runshelf::<part>.

include(CMakePackageConfigHelpers)
include(GNUInstallDirs)

set(RUNSHELF_PARTS common table consensus ownership admission coordination routing)
set(RUNSHELF_PACKAGE_DIRECTORY ${CMAKE_INSTALL_LIBDIR}/cmake/runshelf)

foreach(part IN LISTS RUNSHELF_PARTS)
  add_library(runshelf::${part} ALIAS runshelf_${part})
  set_target_properties(runshelf_${part} PROPERTIES EXPORT_NAME ${part})
  install(TARGETS runshelf_${part} EXPORT runshelfTargets
          ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY include/runshelf/${part} DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/runshelf)
endforeach()

# Interfaces of outside services, which an embedding program implements.
install(FILES include/runshelf/infrastructure/key_value_store.h include/runshelf/infrastructure/machine_list.h
        DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/runshelf/infrastructure)

install(TARGETS runshelfd runshelfctl RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
install(DIRECTORY etc/ DESTINATION ${CMAKE_INSTALL_DATADIR}/runshelf FILES_MATCHING PATTERN "*.toml")

install(EXPORT runshelfTargets NAMESPACE runshelf:: DESTINATION ${RUNSHELF_PACKAGE_DIRECTORY})
configure_package_config_file(cmake/runshelfConfig.cmake.in
  ${PROJECT_BINARY_DIR}/runshelfConfig.cmake INSTALL_DESTINATION ${RUNSHELF_PACKAGE_DIRECTORY})
write_basic_package_version_file(${PROJECT_BINARY_DIR}/runshelfConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${PROJECT_BINARY_DIR}/runshelfConfig.cmake
              ${PROJECT_BINARY_DIR}/runshelfConfigVersion.cmake
        DESTINATION ${RUNSHELF_PACKAGE_DIRECTORY})
