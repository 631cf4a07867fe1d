include(GNUInstallDirs)

find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
if(PARSLEYTACK_TESTS)
    find_package(GTest REQUIRED)
    find_package(benchmark REQUIRED)
endif()
find_package(Protobuf REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(CURL REQUIRED)
find_package(tl-expected REQUIRED)
pkg_check_modules(ULFIUS REQUIRED IMPORTED_TARGET libulfius libmicrohttpd)
pkg_check_modules(ZMQ REQUIRED IMPORTED_TARGET libzmq)
pkg_check_modules(GNUTLS REQUIRED IMPORTED_TARGET gnutls)
pkg_check_modules(UV REQUIRED IMPORTED_TARGET libuv)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

set(PARSLEYTACK_LIBS_DIR ${CMAKE_SOURCE_DIR}/src/libs)
set(PARSLEYTACK_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wno-missing-field-initializers -Werror)

# add_parsleytack_library(NAME SOURCES file... [LINKS target...] [PRIVATE_LINKS target...]): a static library.
function(add_parsleytack_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS;PRIVATE_LINKS" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_include_directories(${name} PUBLIC ${PARSLEYTACK_LIBS_DIR})
    target_compile_options(${name} PRIVATE ${PARSLEYTACK_WARNINGS})
    target_link_libraries(${name} PUBLIC ${ARG_LINKS} PRIVATE ${ARG_PRIVATE_LINKS})
endfunction()

# add_parsleytack_tool(NAME SOURCES file... [LINKS target...]): a program that is installed.
function(add_parsleytack_tool name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_compile_options(${name} PRIVATE ${PARSLEYTACK_WARNINGS})
    target_compile_definitions(${name} PRIVATE PARSLEYTACK_VERSION="${PROJECT_VERSION}")
    target_link_libraries(${name} PRIVATE ${ARG_LINKS})
    install(TARGETS ${name} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
endfunction()

# add_parsleytack_test(NAME SOURCES file... [LINKS target...]): a GoogleTest program that ctest runs.
function(add_parsleytack_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_compile_options(${name} PRIVATE ${PARSLEYTACK_WARNINGS})
    target_link_libraries(${name} PRIVATE ${ARG_LINKS} GTest::gtest GTest::gtest_main)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# add_parsleytack_test_program(NAME SOURCES file... [LINKS target...]): a program for tests, such as a
# stand-in; not installed.
function(add_parsleytack_test_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_compile_options(${name} PRIVATE ${PARSLEYTACK_WARNINGS})
    target_link_libraries(${name} PRIVATE ${ARG_LINKS})
endfunction()

# add_parsleytack_benchmark(NAME SOURCES file... [LINKS target...]): a benchmark program; not run by ctest.
function(add_parsleytack_benchmark name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_compile_options(${name} PRIVATE ${PARSLEYTACK_WARNINGS})
    target_link_libraries(${name} PRIVATE ${ARG_LINKS} benchmark::benchmark)
endfunction()
