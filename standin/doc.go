// Package standin holds small stand-ins for outside systems; it is not shipped.
package standin
