// Package examples holds the example bundles of two deployments.
package examples

import "embed"

// Files holds the bundles, by file name.
//
//go:embed *.yaml
var Files embed.FS
