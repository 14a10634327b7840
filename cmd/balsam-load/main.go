// Command balsam-load is part of balsamstall.
package main

func main() {}
