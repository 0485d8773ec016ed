namespace coltsfoot {}
