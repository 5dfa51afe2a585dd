// Package tests contains integration and property tests. Their libraries are not
// dependencies of the main module.
package tests
