package clienttest

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestNodeClientIsServedAndUnderstandsErrors needs Node.js, and the package openai in node/node_modules.
// .ci/run installs it; without it the test is skipped.
func TestNodeClientIsServedAndUnderstandsErrors(t *testing.T) {
	_, err := os.Stat(filepath.Join("node", "node_modules", "openai"))
	if err != nil {
		t.Skip("needs npm install --no-package-lock in internal/clienttest/node")
	}
	_, baseURL := startCluster(t)
	output, err := exec.Command("node", filepath.Join("node", "check.mjs"), baseURL).CombinedOutput()
	if err != nil || !strings.HasSuffix(string(output), "good\n") {
		t.Errorf("node check.mjs: error %v, want none and last line \"good\"; output:\n%s", err, output)
	}
}
