# Every dependency is a Debian package; scripts/install-packages.sh lists them.
find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS system unit_test_framework)
find_package(absl REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(docopt REQUIRED)
find_package(nlohmann_json 3.11 REQUIRED)
find_package(ZLIB REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(CAPNP REQUIRED IMPORTED_TARGET capnp-rpc)
pkg_check_modules(OPENSSL_CRYPTO REQUIRED IMPORTED_TARGET libcrypto)
find_path(EASYLOGGINGPP_DIR easylogging++.cc REQUIRED)
find_path(RAPIDCHECK_INCLUDE_DIR rapidcheck/boost_test.h REQUIRED)
find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)

# easylogging++ is distributed as source: it is compiled once, here.
add_library(easyloggingpp STATIC ${EASYLOGGINGPP_DIR}/easylogging++.cc)
target_include_directories(easyloggingpp SYSTEM PUBLIC ${EASYLOGGINGPP_DIR})
target_compile_definitions(easyloggingpp PUBLIC
  ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING)
target_compile_options(easyloggingpp PRIVATE -w)

add_library(anvilturn_dependencies INTERFACE)
target_compile_definitions(anvilturn_dependencies INTERFACE
  BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_CONCEPTS
  BOOST_ALLOW_DEPRECATED_HEADERS BOOST_BIND_GLOBAL_PLACEHOLDERS)
target_link_libraries(anvilturn_dependencies INTERFACE
  Threads::Threads Boost::boost Boost::system
  absl::status absl::statusor absl::strings absl::flat_hash_map absl::hash
  yaml-cpp docopt nlohmann_json::nlohmann_json ZLIB::ZLIB PkgConfig::CAPNP PkgConfig::OPENSSL_CRYPTO)
