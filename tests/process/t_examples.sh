#!/usr/bin/env bash
# The examples of docs/INTERFACES.md are run as they stand.
. "$(dirname "$0")/lib.sh"
cl_setup "$T_DIR/c" 29000 oikonomou 2
cl_start || { t_fail start; exit 1; }

port_of() {
    case $1 in
    entry) cl_entry_port 0 ;;
    entry2) cl_entry_port 1 ;;
    control) cl_ops_port "$(cl_leader)" ;;
    esac
}
n=0 mode="" body="" verb="" where="" path="" got=""
while IFS= read -r line; do
    case $line in
    '```request '*) read -r _ verb where path <<< "$line"; mode=request body="" ;;
    '```answer') mode=answer ;;
    '```')
        if [ "$mode" = request ]; then
            body=${body//@DB/${CL_GROUPS[0]}}
            if [ "$verb" = POST ]; then got=$(cl_post "$(port_of "$where")" "$path" "$body"); else got=$(cl_get "$(port_of "$where")" "$path"); fi
        fi
        mode=""
        ;;
    *)
        [ "$mode" = request ] && body+=$line
        if [ "$mode" = answer ]; then
            n=$((n + 1))
            t_check "example $n: $verb $path" grep -qE -- "$line" <<< "$got"
            grep -qE -- "$line" <<< "$got" || echo "   got: $got"
        fi
        ;;
    esac
done < docs/INTERFACES.md
t_check "there are examples" [ $n -ge 7 ]
# What the operators' pages tell people to look at is there.
{ cl_get "$(cl_entry_port 0)" /metrics; cl_get "$(port_of control)" /metrics; } > "$T_DIR/metrics"
missing=$(grep -oh 'ferry_[a-z_]*' docs/operators/*.md | sort -u | while read -r m; do grep -q "^$m[ {]" "$T_DIR/metrics" || echo "$m"; done)
t_check "every metric of docs/operators is served ${missing//$'\n'/ }" [ -z "$missing" ]
pages=$(grep -oh '[a-z]*\.md' <(sed -n '/^\*\*When it goes wrong/,/^$/p' docs/OPERATIONS.md) | sort | xargs)
t_check "OPERATIONS.md names every page" [ "$pages" = "$(cd docs/operators && ls | sort | xargs)" ]
"$CL_BUILD/ferryd" --help-settings > "$T_DIR/settings.md"
t_check "docs/SETTINGS.md is what ferryd prints (make docs)" cmp -s "$T_DIR/settings.md" docs/SETTINGS.md
exit $T_BAD
