package records

import (
	"testing"
)

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
		answer := store.HandleChanges(test.request)
		if (answer.Delta == nil) != (test.want.Delta == nil) || answer.Repair != test.want.Repair || answer.Behind != test.want.Behind {
			t.Errorf("%s: %+v", test.name, answer)
		}
		data, err := EncodeChangesResponse(answer)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeChangesResponse(data)
		if err != nil || decoded.Version != 5 || decoded.Digest != store.Digest() || (decoded.Delta == nil) != (answer.Delta == nil) {
			t.Errorf("%s: decoded %+v, %v", test.name, decoded, err)
		}
	}
	large := largeStore(t, 26_000)
	if answer := large.HandleChanges(ChangesRequest{}); answer.Repair != RepairTooLarge {
		t.Errorf("26,000 records: %s", answer.Repair)
	}
}
