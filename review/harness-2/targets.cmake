# Included at the end of the project's CMakeLists.txt by review/build-2.sh: the project's stand-ins that the cases of
# the second review use, and a program for each case.
set(review ${CMAKE_SOURCE_DIR}/review)
set(standins ${CMAKE_SOURCE_DIR}/tests/standins)
add_library(review_place STATIC ${review}/harness-2/place.cc ${standins}/standinserver.cpp
    ${standins}/platformminionstandin.cpp ${standins}/platformservicestandins.cpp
    ${standins}/platformstorestandin.cpp ${standins}/faultproxy.cpp)
target_include_directories(review_place PUBLIC ${review}/harness-2 ${CMAKE_SOURCE_DIR}/tests)
target_link_libraries(review_place PUBLIC papayahall_connection papayahall_steps)
target_compile_definitions(review_place PRIVATE SERVER_PATH="${CMAKE_SOURCE_DIR}/target/apps/papayahalld")
foreach(number 6 7 8 9 10)
    if(EXISTS ${review}/${number}/case.cc)
        add_executable(case-${number} ${review}/${number}/case.cc)
        target_link_libraries(case-${number} PRIVATE review_place)
        list(APPEND case_programs case-${number})
    endif()
endforeach()
add_custom_target(review_cases DEPENDS ${case_programs})
