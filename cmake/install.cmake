include(GNUInstallDirs)
install(TARGETS anvilturn LIBRARY DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY modules/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/anvilturn
        FILES_MATCHING PATTERN "*.hpp" PATTERN "tests" EXCLUDE)
configure_file(packaging/anvilturn.pc.in anvilturn.pc @ONLY)
install(FILES ${CMAKE_BINARY_DIR}/anvilturn.pc
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/pkgconfig)
install(FILES packaging/anvilturnd.service
        DESTINATION ${CMAKE_INSTALL_DATADIR}/anvilturn)
