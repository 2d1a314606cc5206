package peers

import (
	"testing"

	"go.uber.org/goleak"
)

// No goroutine outlives the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
