package records

import (
	"testing"
)

// A response has a delta, a reason for a repair, or neither if the replica is up to date.
func TestHandleChanges(t *testing.T) {
	store := smallStore(t)
	old := store.Digest()
	apply(t, store, 5, change(put("plan/free", planValue)), Accepted)
	wrong := Digest{1}
	for _, test := range []struct {
		name    string
		request ChangesRequest
		want    ChangesResponse
	}{
		{"up to date", ChangesRequest{Since: 5}, ChangesResponse{}},
		{"one change", ChangesRequest{Since: 1, Digest: &old}, ChangesResponse{Delta: &Delta{}}},
		{"from version 0", ChangesRequest{}, ChangesResponse{Delta: &Delta{}}},
		{"wrong digest", ChangesRequest{Since: 1, Digest: &wrong}, ChangesResponse{Repair: RepairDigest}},
		{"wrong digest of the newest version", ChangesRequest{Since: 5, Digest: &wrong}, ChangesResponse{Repair: RepairDigest}},
		{"version without a change", ChangesRequest{Since: 3, Digest: &old}, ChangesResponse{Repair: RepairDigest}},
		{"above the newest version", ChangesRequest{Since: 6}, ChangesResponse{Behind: true}},
	} {
		response := store.HandleChanges(test.request)
		if (response.Delta == nil) != (test.want.Delta == nil) || response.Repair != test.want.Repair || response.Behind != test.want.Behind {
			t.Errorf("%s: %+v, want %+v", test.name, response, test.want)
		}
		data, err := EncodeChangesResponse(response)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeChangesResponse(data)
		if err != nil || decoded.Version != 5 || decoded.Digest != store.Digest() || (decoded.Delta == nil) != (response.Delta == nil) {
			t.Errorf("%s: decoded %+v, %v", test.name, decoded, err)
		}
	}
	large := largeStore(t, 26_000)
	if response := large.HandleChanges(ChangesRequest{}); response.Repair != RepairTooLarge {
		t.Errorf("26,000 records: repair %q, want %q", response.Repair, RepairTooLarge)
	}
}
