// Package e2e runs real balsam-entry processes against stand-ins on loopback and checks the promises
// of the service from outside.
package e2e

import (
	"os"
	"testing"

	"github.com/balsamstall/balsamstall/internal/testfleet"
)

func TestMain(m *testing.M) { os.Exit(testfleet.Main(m)) }
