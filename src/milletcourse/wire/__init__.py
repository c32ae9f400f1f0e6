"""Binary codecs of the messages between routers."""
