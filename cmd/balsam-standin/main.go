// Command balsam-standin is part of balsamstall.
package main

func main() {}
