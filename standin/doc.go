// Package standin holds small simulations of external systems and the tools that
// test against them. It is not part of a release.
package standin
