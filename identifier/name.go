package identifier

import "fmt"

// Name returns a name of the operation that grants nothing, for targets and logs.
func (id Identity) Name() string {
	return fmt.Sprintf("%s-%x-%x", id.Owner.Host, id.Owner.Incarnation, id.Number)
}
