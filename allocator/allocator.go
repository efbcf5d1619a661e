package allocator

import "github.com/lesismal/nbio/mempool"

func init() {
	mempool.DefaultMemPool = mempool.NewSTD()
}
