// Command fescuethread steers requests from customers to regions and targets that can serve them.
package main

func main() {}
