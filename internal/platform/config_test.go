package platform

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
)

// TestConfigErrorNamesVariableFileAndKey: a ConfigError names the environment variable, file and key that are
// invalid, and wraps the cause.
func TestConfigErrorNamesVariableFileAndKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.json")
	missing := path + ".missing"
	for _, c := range []struct {
		variables map[string]string
		text      string      // of the file at path
		want      ConfigError // without Err
		reason    error       // wrapped by the error; nil for any
	}{
		{nil, "", ConfigError{Variable: "PROXY_CONFIG"}, ErrConfigNotSet},
		{map[string]string{"PROXY_CONFIG": missing}, "", ConfigError{Variable: "PROXY_CONFIG"}, fs.ErrNotExist},
		{map[string]string{"PROXY_CONFIG": path}, "{", ConfigError{Variable: "PROXY_CONFIG", File: path}, nil},
		{map[string]string{"PROXY_CONFIG": path, "PROXY_LISTEN": "x"}, "{}", ConfigError{Variable: "PROXY_LISTEN"}, nil},
		{map[string]string{"PROXY_CONFIG": path}, `{"listen": "x"}`, ConfigError{Variable: "PROXY_CONFIG", File: path, Key: "listen"}, nil},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadConfig(func(name string) string { return c.variables[name] })
		var configErr *ConfigError
		if !errors.As(err, &configErr) {
			t.Errorf("variables %v, file %q: error %v, want a *ConfigError", c.variables, c.text, err)
			continue
		}
		if c.reason != nil && !errors.Is(err, c.reason) {
			t.Errorf("variables %v, file %q: error %v does not wrap %v", c.variables, c.text, err, c.reason)
		}
		got := *configErr
		got.Err = nil
		if got != c.want {
			t.Errorf("variables %v, file %q: error %+v, want %+v", c.variables, c.text, got, c.want)
		}
	}
}

// TestStartErrorsNameFileAndKey: an invalid value in the configuration file, or an address in use, is reported
// with the file and the key.
func TestStartErrorsNameFileAndKey(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	if _, err := LoadConfig(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "PROXY_CONFIG") {
		t.Errorf("without variables: error %v, want one that names PROXY_CONFIG", err)
	}
	for key, value := range map[string]any{
		"listen":    "nowhere",
		"discovery": "x:y",
		"seed":      "xyz",
		"settings":  map[string]any{"RequestClasses": 3},
		"limits":    map[string]any{"cores": 0.5, "memory_mb": 1, "sockets": 256},
	} {
		valid := h.config[key]
		h.config[key] = value
		h.saveConfig()
		if _, err := LoadConfig(h.getenv); err == nil || !strings.Contains(err.Error(), key) || !strings.Contains(err.Error(), h.configPath) {
			t.Errorf("invalid %s: error %v, want one that names the key and the file", key, err)
		}
		h.config[key] = valid
	}

	h.config["listen"] = h.server.Addr() // in use
	h.saveConfig()
	h.expectAddressInUse()

	h.config["settings"] = map[string]any{"FamilyInfo": map[string]any{"KindRole": []string{"paint"}}}
	h.saveConfig()
	if _, err := LoadConfig(h.getenv); err == nil || !strings.Contains(err.Error(), "KindRole") {
		t.Errorf("unknown role: error %v, want one that names KindRole", err)
	}
}

// expectAddressInUse fails the test unless starting a server on an address in use returns an error that names the file
// and the key listen.
func (h *harness) expectAddressInUse() {
	h.Helper()
	cfg, err := LoadConfig(h.getenv)
	if err != nil {
		h.Error(err)
		return
	}
	_, err = New(cfg, zerolog.Nop())
	if err == nil || !strings.Contains(err.Error(), "listen") || !strings.Contains(err.Error(), h.configPath) {
		h.Errorf("address in use: error %v, want one that names listen and the file", err)
	}
	var configErr *ConfigError
	if !errors.As(err, &configErr) || configErr.File != h.configPath || configErr.Key != "listen" || !errors.Is(err, syscall.EADDRINUSE) {
		h.Errorf("address in use: error %#v, want a *ConfigError that wraps EADDRINUSE", err)
	}
}
