#!/bin/sh
# Builds the stand-ins and the drivers of the cases into target/review, after the build of deploy/system.toml. The sources end
# in .cc and .hh, which keeps them out of the format check and the linter of CI.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rm -f target/review/*.o
flags="-std=c++20 -O1 -Wall -Wextra -Wno-restrict -Wno-array-bounds -Wno-stringop-overread -Wno-mismatched-new-delete
    -DBOOST_ALL_DYN_LINK -DBOOST_ASIO_NO_DEPRECATED -DBOOST_LOG_DYN_LINK -Ipackages -Itests -Ireview/harness"
libraries="target/libpapayahall_dispatch.a target/libpapayahall_steps.a target/libpapayahall_process.a
    target/libpapayahall_connection.a target/libpapayahall_request.a target/libpapayahall_version.a
    target/libpapayahall_base.a -lboost_log -lboost_thread -lboost_filesystem -lnghttp2 -lcrypto -pthread"
for source in tests/standins/standinserver.cpp tests/standins/platformstorestandin.cpp tests/standins/faultproxy.cpp \
    review/harness/*.cc review/[1-5]/case.cc; do
    [ -e "$source" ] || continue
    object=target/review/$(echo "$source" | tr '/' '_').o
    # shellcheck disable=SC2086
    g++ $flags -c "$source" -o "$object" &
done
wait
shared="target/review/tests_standins_standinserver.cpp.o"
# shellcheck disable=SC2086
g++ target/review/review_harness_minion.cc.o $shared $libraries -o target/review/minion
# shellcheck disable=SC2086
g++ target/review/review_harness_relay.cc.o target/review/tests_standins_faultproxy.cpp.o $shared $libraries \
    -o target/review/relay
for source in review/[1-5]/case.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    # shellcheck disable=SC2086
    g++ "target/review/review_${number}_case.cc.o" target/review/review_harness_site.cc.o \
        target/review/tests_standins_platformstorestandin.cpp.o target/review/tests_standins_faultproxy.cpp.o \
        $shared $libraries -o "target/review/case$number"
done
