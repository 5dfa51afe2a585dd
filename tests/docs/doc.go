// Package docs contains tests that compare the pages under docs/ and the samples
// under examples/ with the code.
package docs
