package records

import (
	"testing"
)

// A response has a delta, a reason for a repair, or nothing.
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
		{"nothing new", ChangesRequest{Since: 5}, ChangesResponse{}},
		{"a change", ChangesRequest{Since: 1, Digest: &old}, ChangesResponse{Delta: &Delta{}}},
		{"from the beginning", ChangesRequest{}, ChangesResponse{Delta: &Delta{}}},
		{"another digest", ChangesRequest{Since: 1, Digest: &wrong}, ChangesResponse{Repair: RepairDigest}},
		{"another digest of the newest", ChangesRequest{Since: 5, Digest: &wrong}, ChangesResponse{Repair: RepairDigest}},
		{"no such version", ChangesRequest{Since: 3, Digest: &old}, ChangesResponse{Repair: RepairDigest}},
		{"the future", ChangesRequest{Since: 6}, ChangesResponse{Behind: true}},
	} {
		response := store.HandleChanges(test.request)
		if (response.Delta == nil) != (test.want.Delta == nil) || response.Repair != test.want.Repair || response.Behind != test.want.Behind {
			t.Errorf("%s: %+v", test.name, response)
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
		t.Errorf("26,000 records: %s", response.Repair)
	}
}
