// Package version contains the release number of the binaries.
package version

// Version is the semantic version of this release.
const Version = "0.1.0"
