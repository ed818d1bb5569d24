# Included by project() through CMAKE_PROJECT_INCLUDE. Adds the review's targets at the end of the top-level list file,
# when the project's libraries exist.
set(REVIEW3_FOLDER ${CMAKE_CURRENT_LIST_DIR})
cmake_language(DEFER CALL include "${REVIEW3_FOLDER}/targets.cmake")
