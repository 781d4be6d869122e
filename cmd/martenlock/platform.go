package main

import (
	"os"

	"github.com/spf13/cobra"

	"martenlock/internal/platform"
)

const platformHelp = `Run one router until SIGTERM, on a hosting platform that configures it by environment
variables and lists the engines in a discovery service. To run a router from settings
files, use serve.

PROXY_CONFIG      path of the settings, a JSON file; required
PROXY_NAME        name of the router, if the file has no "name"
PROXY_LISTEN      address to listen on, if the file has no "listen"
PROXY_DISCOVERY   address of the discovery service, if the file has no "discovery"`

func platformCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "platform",
		Short:   "Run a router configured by PROXY_ environment variables until SIGTERM",
		Long:    platformHelp,
		Example: "  PROXY_CONFIG=router.json martenlock platform",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return platform.Serve(os.Getenv, os.Stderr) },
	}
}
