// Package examples embeds the example bundles of two deployments, weavers and library.
package examples

import "embed"

// Files holds the bundles as NAME.yaml at its root.
//
//go:embed *.yaml
var Files embed.FS
