// Package accepter accepts connections and outlasts the errors that pass, such as a lack of
// descriptors.
package accepter
