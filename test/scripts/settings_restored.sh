# Restores the platform from an older backup, so that its revisions restart at low numbers. No instance returns to an
# older revision, and a change at a low revision is not reported as in force. Raising the generation makes all instances
# take the platform's settings again.
. "$(dirname "$0")/lib.sh"

settings_json() { echo '{ "branches": { "meals": {}, "orders": { "values": { "weight": '"$1"' } } } }'; }
put_list_entries() {
	put_list_entry "service=upstream&name=u1&address=$(upstream_address u1)&domain=can-tho&slots=8&state=live"
	put_list_entry "service=waxwing&name=can-tho-1&address=$(http_address 1)&peer=$ADDRESS:9001&domain=can-tho&state=live"
	put_list_entry "service=waxwing&name=can-tho-2&address=$(http_address 2)&peer=$ADDRESS:9002&domain=can-tho&state=live"
}
masked_ctl() { "$BUILD/waxwingctl" --platform "$PLATFORM" "$@" 2>&1 | sed -e "s/$PLATFORM/PLATFORM/" -e "s/$ADDRESS/ADDRESS/g" \
	-e 's/as [^ ]*-[0-9a-f]\{16\}, revision [0-9]*/as ID/' -e 's/revision [0-9]*/revision N/g'; }
revision_at() { state_field "$1" settings_revision; }
went_back() { curl -s "http://$(http_address "$1")/metrics" | grep -q '^waxwing_settings_went_back_total [1-9]'; }

start_platform
settings_json 5 | put_settings
start_upstream u1 can-tho
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
wait_ready 1 2
i=0
while [ $i -lt 20 ]; do
	masked_ctl settings set orders weight=$((10 + i)) >/dev/null
	i=$((i + 1))
done
masked_ctl settings set meals weight=7 --wait=30000
revision_before=$(revision_at 1)

echo "== restored"
kill "$(pid_of platform)"
wait "$(pid_of platform)" 2>/dev/null
rm "$WORK/platform.out"
start_platform --port "${PLATFORM##*:}"
settings_json 6 | put_settings
put_list_entries
for number in 1 2; do wait_until "instance $number sees that the platform went back" went_back $number; done
masked_ctl settings set meals weight=8 --wait=3000
for number in 1 2; do [ "$(revision_at $number)" = "$revision_before" ] && echo "instance $number stays at its revision"; done

echo "== a higher generation"
masked_ctl settings set @limits generation=1 --wait=30000
masked_ctl settings set meals weight=9 --wait=30000
for number in 1 2; do [ "$(revision_at $number)" -gt "$revision_before" ] && echo "instance $number is above its old revision"; done
