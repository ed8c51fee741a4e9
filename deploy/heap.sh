# Sets heap_mib and initial_heap_mib, the sizes of the relay's heap, from memory_mb in the file that EDGE_CONFIG names. The
# run command of the deploy file reads it. It uses built-ins of the shell alone, as a relay may start no other programs.

other_mib=60      # memory of the JVM beside its heap: code, classes, threads, buffers of system calls
min_heap_mib=16
max_heap_mib=72
max_initial_heap_mib=48
least_memory_mib=80
memory_mib=128    # where the configuration names none

line=
if [ -r "$EDGE_CONFIG" ]; then
    while IFS= read -r line || [ -n "$line" ]; do
        case $line in *'"memory_mb"'*) break ;; esac
    done < "$EDGE_CONFIG"
fi
case $line in
    *'"memory_mb"'*)
        value=${line#*'"memory_mb"'}
        before_digits=${value%%[0-9]*}
        digits=${value#"$before_digits"}
        digits=${digits%%[!0-9]*}
        case $before_digits in
            *[!:\ ]*) ;;
            *) [ -n "$digits" ] && [ ${#digits} -le 9 ] && memory_mib=$digits ;;
        esac
        ;;
esac
[ "$memory_mib" -ge "$least_memory_mib" ] ||
    echo "loftflow: server: memory limit too small memoryMb=$memory_mib leastMb=$least_memory_mib" >&2
heap_mib=$((memory_mib - other_mib))
[ "$heap_mib" -ge "$min_heap_mib" ] || heap_mib=$min_heap_mib
[ "$heap_mib" -le "$max_heap_mib" ] || heap_mib=$max_heap_mib
initial_heap_mib=$heap_mib
[ "$initial_heap_mib" -le "$max_initial_heap_mib" ] || initial_heap_mib=$max_initial_heap_mib
