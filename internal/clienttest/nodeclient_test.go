package clienttest

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestNodeClientIsServedAndUnderstandsErrors needs node, and the openai package in node/. There,
// npm install provides it; .ci/run does that.
func TestNodeClientIsServedAndUnderstandsErrors(t *testing.T) {
	_, err := os.Stat(filepath.Join("node", "node_modules", "openai"))
	if err != nil {
		t.Skip("needs npm install --no-package-lock in internal/clienttest/node")
	}
	_, baseURL := startCluster(t)
	output, err := exec.Command("node", filepath.Join("node", "check.mjs"), baseURL).CombinedOutput()
	if err != nil || !strings.HasSuffix(string(output), "good\n") {
		t.Errorf("%v\n%s", err, output)
	}
}
