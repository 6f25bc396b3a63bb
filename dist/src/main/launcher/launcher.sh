#!/bin/sh
# Replaces itself by the JVM that runs the jar appended to this script.
# UsePerfData is off, as it maps a file that other processes can read.
common="-XX:-UsePerfData -XX:+UseSerialGC -Djava.net.preferIPv4Stack=true"
common="$common -Dio.netty.transport.noNative=true -Dio.netty.noUnsafe=false"
# Two malloc arenas in place of eight per core: freed native memory is spread over fewer of them.
export MALLOC_ARENA_MAX="${MALLOC_ARENA_MAX:-2}"
case "$1" in
  agent)
    # An agent has 128 MB in all. A process without memory ends, so that it is started again.
    flags="-Xms24m -Xmx40m -Xss256k -XX:MaxDirectMemorySize=16m -XX:MaxMetaspaceSize=40m"
    flags="$flags -XX:+ExitOnOutOfMemoryError -XX:ReservedCodeCacheSize=16m -XX:TieredStopAtLevel=1"
    flags="$flags -Dio.netty.allocator.type=unpooled -XX:TrimNativeHeapInterval=10000"
    ;;
  entry)
    # Within 430 MB: the process needs 110 MB beside the heap and the direct memory. Two compiler
    # threads, as more of them need more memory of their own.
    flags="-Xms16m -Xmx224m -Xss512k -XX:MaxDirectMemorySize=64m -XX:ReservedCodeCacheSize=32m"
    flags="$flags -XX:CICompilerCount=2 -XX:+ExitOnOutOfMemoryError"
    # The heap shrinks after a peak.
    flags="$flags -XX:MinHeapFreeRatio=20 -XX:MaxHeapFreeRatio=40"
    flags="$flags -XX:TrimNativeHeapInterval=10000"
    ;;
  standin) flags="-Xmx192m" ;;
  *) flags="-Xmx1g" ;;
esac
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" $common $flags $ZINNIAWOOD_JAVA_OPTIONS -jar "$0" "$@"
