# Adds the cases of the second review to the project in a build folder of their own, once its own targets exist. The
# path is written into the deferred call, whose arguments are evaluated later.
cmake_language(EVAL CODE "cmake_language(DEFER CALL include [[${CMAKE_CURRENT_LIST_DIR}/targets.cmake]])")
