package peers

import (
	"testing"

	"go.uber.org/goleak"
)

// Whatever a process's part among the others began has ended with it.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
