# Compile and link options of all targets of the project.
add_library(sycamoretray_options INTERFACE)
target_compile_options(sycamoretray_options INTERFACE -Wall -Wextra -Wpedantic -Werror)
if(SYCAMORETRAY_SANITIZE)
  # Boost.MSM and Beast trigger false warnings about uninitialized variables in builds of g++ 12 with sanitizers.
  target_compile_options(sycamoretray_options INTERFACE
    -fsanitize=${SYCAMORETRAY_SANITIZE} -fno-sanitize-recover=all -fno-omit-frame-pointer
    -Wno-maybe-uninitialized -Wno-uninitialized)
  target_link_options(sycamoretray_options INTERFACE -fsanitize=${SYCAMORETRAY_SANITIZE})
endif()

# sycamoretray_library(NAME base SOURCES a.cpp LINK other_lib [PRIVATE_LINK ...])
#
# Defines the static library sycamoretray_NAME, or an interface library if it has no SOURCES. Sources are relative to the
# current directory. Headers are included as "NAME/header.h".
function(sycamoretray_library)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;LINK;PRIVATE_LINK" ${ARGN})
  set(target sycamoretray_${ARG_NAME})
  if(ARG_SOURCES)
    add_library(${target} STATIC ${ARG_SOURCES})
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/libs)
    target_link_libraries(${target} PUBLIC ${ARG_LINK} PRIVATE sycamoretray_options ${ARG_PRIVATE_LINK})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE ${PROJECT_SOURCE_DIR}/libs)
    target_link_libraries(${target} INTERFACE ${ARG_LINK})
  endif()
endfunction()

# sycamoretray_executable(NAME program SOURCES main.cpp LINK sycamoretray_base)
#
# Defines an executable with the project's compile options.
function(sycamoretray_executable)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;LINK" ${ARGN})
  add_executable(${ARG_NAME} ${ARG_SOURCES})
  target_link_libraries(${ARG_NAME} PRIVATE sycamoretray_options ${ARG_LINK})
endfunction()

# Builds all tests below tests/unit and what they depend on. Used by scripts/sanitize.
add_custom_target(unit_tests)

# sycamoretray_unit_test(NAME base_test SOURCES base_test.cpp LINK sycamoretray_base [TIMEOUT seconds])
#
# Defines a Criterion test program and registers it with CTest. The timeout, for each test case and for the whole program,
# is 120 s by default.
function(sycamoretray_unit_test)
  cmake_parse_arguments(ARG "" "NAME;TIMEOUT" "SOURCES;LINK" ${ARGN})
  add_executable(${ARG_NAME} ${ARG_SOURCES})
  target_link_libraries(${ARG_NAME} PRIVATE sycamoretray_options ${ARG_LINK} criterion::criterion)
  if(CMAKE_CURRENT_SOURCE_DIR MATCHES "/tests/unit/")
    add_dependencies(unit_tests ${ARG_NAME})
  endif()
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  add_test(NAME ${ARG_NAME} COMMAND ${ARG_NAME} --timeout ${ARG_TIMEOUT})
  set_tests_properties(${ARG_NAME} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
