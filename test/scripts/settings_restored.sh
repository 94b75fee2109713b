# The platform is restored from an older copy, so its revisions start over: no instance goes back, an edit at the
# low revision is not reported as in force, and a higher generation puts the platform's tree in force everywhere.
. "$(dirname "$0")/lib.sh"

tree() { echo '{ "branches": { "meals": {}, "orders": { "values": { "weight": '"$1"' } } } }'; }
list_all() {
	put_list_entry "service=upstream&name=u1&address=$(upstream_address u1)&domain=can-tho&slots=8&state=live"
	put_list_entry "service=waxwing&name=can-tho-1&address=$(http_address 1)&peer=$ADDRESS:9001&domain=can-tho&state=live"
	put_list_entry "service=waxwing&name=can-tho-2&address=$(http_address 2)&peer=$ADDRESS:9002&domain=can-tho&state=live"
}
ctl() { "$BUILD/waxwingctl" --platform "$PLATFORM" "$@" 2>&1 | sed -e "s/$PLATFORM/PLATFORM/" -e "s/$ADDRESS/ADDRESS/g" \
	-e 's/as [^ ]*-[0-9a-f]\{16\}, revision [0-9]*/as ID/' -e 's/revision [0-9]*/revision N/g'; }
revision_at() { state_field "$1" settings_revision; }
went_back() { curl -s "http://$(http_address "$1")/metrics" | grep -q '^waxwing_settings_went_back_total [1-9]'; }

start_platform
tree 5 | put_settings
start_upstream u1 can-tho
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
wait_ready 1 2
i=0
while [ $i -lt 20 ]; do
	ctl settings set orders weight=$((10 + i)) >/dev/null
	i=$((i + 1))
done
ctl settings set meals weight=7 --wait=30000
old=$(revision_at 1)

echo "== restored"
kill "$(pid_of platform)"
wait "$(pid_of platform)" 2>/dev/null
rm "$WORK/platform.out"
start_platform --port "${PLATFORM##*:}"
tree 6 | put_settings
list_all
for number in 1 2; do wait_until "instance $number sees that the platform went back" went_back $number; done
ctl settings set meals weight=8 --wait=3000
for number in 1 2; do [ "$(revision_at $number)" = "$old" ] && echo "instance $number stays at its revision"; done

echo "== a higher generation"
ctl settings set @limits generation=1 --wait=30000
ctl settings set meals weight=9 --wait=30000
for number in 1 2; do [ "$(revision_at $number)" -gt "$old" ] && echo "instance $number is above its old revision"; done
