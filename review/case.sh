# Runs one case; sourced by the script of its folder with the name of the class. TROUBLE=0 leaves the disruption out. Exits
# with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
folder=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$folder/../.." && pwd)
if [ ! -e "$root/review/classes/review/$1.class" ] || [ ! -e "$root/target/wigeongrade-0.1.0.jar" ]; then
    echo "run the build command of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
java -Xmx256m -Dreview.root="$root" -Dreview.record="$folder/record.txt" -cp "$root/review/classes" "review.$1" &
pid=$!
trap 'kill "$pid" 2>/dev/null' INT TERM
wait "$pid"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
