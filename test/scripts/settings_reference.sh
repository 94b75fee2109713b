# docs/SETTINGS.md must equal the output of waxwingctl settings reference, which must have a row for each schema key.
root=$(cd "$(dirname "$0")/../.." && pwd)
"$BUILD/waxwingctl" settings reference >"$WORK/reference"
sed -n '/^| of /,$p' "$root/docs/SETTINGS.md" >"$WORK/page"
cmp "$WORK/reference" "$WORK/page" && echo "the page is up to date"

# message and key of each schema field, except ScheduleClaim, which is not a setting
awk '/^message/ { message = $2 } /^ *(optional|required|repeated)/ && message != "ScheduleClaim" { print "| " message " | " $3 " |" }' \
	"$root/schema/settings.proto" | while read -r row; do
	grep -qF "$row" "$WORK/reference" || echo "missing: $row"
done
